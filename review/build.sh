#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start.  They need nothing but the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q cloverhook cloverhook_emulator review
