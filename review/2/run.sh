#!/bin/bash
exec "$(dirname "$0")/../standin/run" key review/2/record.txt
