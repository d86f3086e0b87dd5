package org.fuchsiadeck.core;

import java.time.Clock;
import java.time.Instant;
import java.util.Random;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Guards against decision logic that uses a clock, a thread, a random source or an I/O library. A replay of recorded
 * events would then give other effects than the recorded run.
 */
class PurityTest {
    private final JavaClasses core = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.fuchsiadeck.core");

    @Test
    void dependsOnlyOnJdkValuesAndVavr() {
        classes()
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("org.fuchsiadeck.core..", "java.lang..", "java.util..", "io.vavr..")
                .check(core);
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..", "java.lang.ref..", "java.util.logging..")
                .check(core);
    }

    @Test
    void readsNoClockAndNoRandomSource() {
        noClasses().should().callMethod(System.class, "currentTimeMillis").check(core);
        noClasses().should().callMethod(System.class, "nanoTime").check(core);
        noClasses()
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(Random.class, Clock.class, Instant.class, Thread.class)
                .check(core);
        noClasses().should().callMethod(Math.class, "random").check(core);
    }
}
