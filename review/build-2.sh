#!/bin/bash
# Builds the stand-ins of the second review's scripts, those of the first one among them; after the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -cp target/amaranthpick.jar -d target/review-2 review/lab/*.java review/lab-2/*.java
