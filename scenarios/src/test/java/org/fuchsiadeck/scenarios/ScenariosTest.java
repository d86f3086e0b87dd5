package org.fuchsiadeck.scenarios;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;

/** Runs the scenarios under {@code org/fuchsiadeck/scenarios}. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("org/fuchsiadeck/scenarios")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.fuchsiadeck.scenarios")
@ConfigurationParameter(key = "cucumber.execution.parallel.enabled", value = "true")
@ConfigurationParameter(key = "cucumber.execution.parallel.config.strategy", value = "fixed")
@ConfigurationParameter(key = "cucumber.execution.parallel.config.fixed.parallelism", value = "3")
@ConfigurationParameter(key = "cucumber.execution.parallel.config.fixed.max-pool-size", value = "3")
@ConfigurationParameter(key = PLUGIN_PROPERTY_NAME, value = "summary, pretty:target/scenarios.txt")
class ScenariosTest {}
