#!/bin/bash
exec "$(dirname "$0")/../standin/run" key review/4/record.txt
