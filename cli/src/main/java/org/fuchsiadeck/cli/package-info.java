/**
 * The operators' command line. {@link org.fuchsiadeck.cli.Main} lists the commands, and
 * {@link org.fuchsiadeck.cli.CommandLine} reads the arguments and runs one of them.
 */
package org.fuchsiadeck.cli;
