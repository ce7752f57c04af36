#!/bin/bash
exec "$(dirname "$0")/../standin/run" foreign review/2/record.txt
