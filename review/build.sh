#!/bin/bash
# Builds the stand-ins that the scripts in this folder start.
set -e
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -nowarn -d classes standins/*.java
