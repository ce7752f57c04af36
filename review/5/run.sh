#!/bin/bash
exec "$(dirname "$0")/../standin/run" pages review/5/record.txt
