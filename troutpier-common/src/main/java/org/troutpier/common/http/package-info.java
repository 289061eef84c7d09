/** HTTP server on Netty with limits, and HTTP client on AsyncHttpClient. */
package org.troutpier.common.http;
