#!/bin/sh
# Plays case 8; exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
exec python3 "$(dirname "$0")/case.py"
