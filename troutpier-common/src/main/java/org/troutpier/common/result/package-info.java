/** Numbered result codes and the exception that carries one. */
package org.troutpier.common.result;
