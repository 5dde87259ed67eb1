#!/bin/sh
# Builds the stand-ins and clients of the cases, after the build of the deploy file. They use only the
# JDK and the JSON library inside the project's own jar.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review/classes
javac -nowarn -cp target/amaranthpick.jar -d target/review/classes review/lab/*.java
