#!/usr/bin/env bash
# Builds the stand-ins and the cases of review 3 into target/review-3, with the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -nowarn -d target/review-3 review/standins-3/*.java
