#!/bin/bash
exec "$(dirname "$0")/../../standin/run" zero review/drafts/zero/record.txt
