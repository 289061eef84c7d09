/** The upstreams: engines and plain services, what they hold and how they fare. */
package org.troutpier.daemon.upstream;
