package org.masticweir;

import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The library's packages can be read in an order in which each needs only those before it. */
@AnalyzeClasses(packages = "org.masticweir", importOptions = ImportOption.DoNotIncludeTests.class)
class PackageCycleTest {
    @ArchTest
    static final ArchRule NO_CYCLES =
            slices().matching("org.masticweir.(*)..").should().beFreeOfCycles();
}
