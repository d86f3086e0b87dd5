/**
 * Requests as callers send them: one by {@link org.fuchsiadeck.cli.load.SendCommand}, many by the load tool.
 */
package org.fuchsiadeck.cli.load;
