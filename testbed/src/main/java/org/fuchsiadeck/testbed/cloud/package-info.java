/**
 * The stand-in of the cloud API: the lagging list of instances and the reclaim notices. Start at
 * {@link org.fuchsiadeck.testbed.cloud.CloudService}.
 */
package org.fuchsiadeck.testbed.cloud;
