#!/bin/sh
# Builds the stand-ins of the scripts of the second independent review into review/out.
set -e
cd "$(dirname "$0")"
mkdir -p out
GOWORK=off go build -C standin2 -o ../out/standin2 .
