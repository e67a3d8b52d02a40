#!/bin/sh
# Compiles the stand-ins of the cases 4 to 8; they need nothing but Python's standard library.
cd "$(dirname "$0")" && python3 -m compileall -q stand_ins_2.py
