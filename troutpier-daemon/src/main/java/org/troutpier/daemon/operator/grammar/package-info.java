/** The parser of the operators' language, made by ANTLR from Command.g4; not to be edited. */
package org.troutpier.daemon.operator.grammar;
