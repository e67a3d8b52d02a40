#!/usr/bin/env bash
# Plays the case and writes record.txt here.
# Exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
cd "$(dirname "$0")" && exec python3 play.py
