#!/bin/bash
exec "$(dirname "$0")/../../standin/run" cold review/drafts/cold/record.txt
