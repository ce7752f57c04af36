#!/bin/bash
exec "$(dirname "$0")/../../standin/run" copies review/drafts/copies/record.txt
