/** What the tests of all modules share. */
package org.troutpier.testing;
