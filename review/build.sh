#!/bin/sh
# Builds the stand-ins that the scripts start.
cd "$(dirname "$0")/standin" && GOWORK=off go build -buildvcs=false -o ../out/standin .
