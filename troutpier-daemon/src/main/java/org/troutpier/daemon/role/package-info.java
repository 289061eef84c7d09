/** Decides how many engines read prompts and how many make tokens, and orders changes. */
package org.troutpier.daemon.role;
