#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They are parts of
# harness.py, need the standard library alone, and run in the script's process.
set -e
cd "$(dirname "$0")"
python3 -B -c "import ast, pathlib
for path in pathlib.Path('.').rglob('*.py'):
    ast.parse(path.read_text(encoding='utf-8'), str(path))"
