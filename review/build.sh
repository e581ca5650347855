#!/bin/sh
# The stand-ins are Python programs that use the standard library alone: nothing has to be built.
set -e
python3 -c 'import asyncio, json, signal, socket, tempfile'
