#!/bin/bash
# Builds the stand-ins that the cases start: one program, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O -o bin/rig rig/main.rs
