/**
 * The client of the platform's key-value service. {@link org.fuchsiadeck.node.platform.KeyValueStore} is what the
 * project needs of such a service; {@link org.fuchsiadeck.node.platform.HttpKeyValueStore} speaks the protocol of
 * {@code docs/PLATFORM.md}, and {@link org.fuchsiadeck.node.platform.PlatformClient} runs the effects of the core.
 */
package org.fuchsiadeck.node.platform;
