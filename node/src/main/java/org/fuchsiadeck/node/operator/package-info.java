/**
 * The HTTP server for operators: liveness, readiness, dump, metrics, drain. Start at {@link
 * org.fuchsiadeck.node.operator.OperatorServer}.
 */
package org.fuchsiadeck.node.operator;
