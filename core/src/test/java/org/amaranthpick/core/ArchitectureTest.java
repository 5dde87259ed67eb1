package org.amaranthpick.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.util.Random;

/** Checks that core uses no sockets, threads, system clock or unseeded random numbers. */
@AnalyzeClasses(
        packages = "org.amaranthpick.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    @ArchTest
    static final ArchRule NO_SERVER_LIBRARIES =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage("io.undertow..", "org.xnio..", "java.nio.channels..");

    @ArchTest
    static final ArchRule NO_THREADS =
            noClasses().should().dependOnClassesThat().belongToAnyOf(Thread.class);

    @ArchTest
    static final ArchRule NO_SYSTEM_CLOCK =
            noClasses()
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(Instant.class, "now")
                    .orShould()
                    .callMethod(Clock.class, "systemUTC");

    @ArchTest
    static final ArchRule NO_SYSTEM_RANDOMNESS =
            noClasses()
                    .should()
                    .callConstructor(Random.class)
                    .orShould()
                    .callMethod(Math.class, "random");
}
