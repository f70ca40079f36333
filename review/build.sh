#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
