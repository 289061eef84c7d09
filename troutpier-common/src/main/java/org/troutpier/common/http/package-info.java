/** HTTP by library: a bounded server on Netty and a small client on AsyncHttpClient. */
package org.troutpier.common.http;
