#!/usr/bin/env bash
# Installs the library into a temporary directory, then builds and runs the example program against
# the installation: outside the build tree, with public headers only.
set -eu
build=$1
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cmake --install "$build" --prefix "$scratch/install" >/dev/null
cp -r examples/embedding "$scratch/source"
cmake -S "$scratch/source" -B "$scratch/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$scratch/install" >/dev/null
cmake --build "$scratch/build" >/dev/null
"$scratch/build/embedding"
