/** What upstreams announce of themselves in their answers, beside the answers themselves. */
package org.troutpier.daemon.notice;
