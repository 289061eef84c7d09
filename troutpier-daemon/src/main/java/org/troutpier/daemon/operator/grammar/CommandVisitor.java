// Generated from Command.g4 by ANTLR 4.13.2
package org.troutpier.daemon.operator.grammar;
import org.antlr.v4.runtime.tree.ParseTreeVisitor;

/**
 * This interface defines a complete generic visitor for a parse tree produced
 * by {@link CommandParser}.
 *
 * @param <T> The return type of the visit operation. Use {@link Void} for
 * operations with no return type.
 */
public interface CommandVisitor<T> extends ParseTreeVisitor<T> {
	/**
	 * Visit a parse tree produced by {@link CommandParser#command}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitCommand(CommandParser.CommandContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#show}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShow(CommandParser.ShowContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#thing}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitThing(CommandParser.ThingContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#condition}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitCondition(CommandParser.ConditionContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#field}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitField(CommandParser.FieldContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#operator}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitOperator(CommandParser.OperatorContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#direction}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitDirection(CommandParser.DirectionContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#value}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitValue(CommandParser.ValueContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#set}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitSet(CommandParser.SetContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#assign}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitAssign(CommandParser.AssignContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#drain}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitDrain(CommandParser.DrainContext ctx);
	/**
	 * Visit a parse tree produced by {@link CommandParser#cancel}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitCancel(CommandParser.CancelContext ctx);
}