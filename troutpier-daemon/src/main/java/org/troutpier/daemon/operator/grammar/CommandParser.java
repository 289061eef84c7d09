// Generated from Command.g4 by ANTLR 4.13.2
package org.troutpier.daemon.operator.grammar;
import org.antlr.v4.runtime.atn.*;
import org.antlr.v4.runtime.dfa.DFA;
import org.antlr.v4.runtime.*;
import org.antlr.v4.runtime.misc.*;
import org.antlr.v4.runtime.tree.*;
import java.util.List;
import java.util.Iterator;
import java.util.ArrayList;

@SuppressWarnings({"all", "warnings", "unchecked", "unused", "cast", "CheckReturnValue", "this-escape"})
public class CommandParser extends Parser {
	static { RuntimeMetaData.checkVersion("4.13.2", RuntimeMetaData.VERSION); }

	protected static final DFA[] _decisionToDFA;
	protected static final PredictionContextCache _sharedContextCache =
		new PredictionContextCache();
	public static final int
		SHOW=1, WHERE=2, AND=3, ORDER=4, BY=5, LIMIT=6, ASC=7, DESC=8, SET=9, 
		CLASS=10, ASSIGN=11, ROLE=12, DRAIN=13, UNDRAIN=14, CANCEL=15, REQUEST=16, 
		EQUAL=17, UNEQUAL=18, LESS=19, GREATER=20, NUMBER=21, WORD=22, TEXT=23, 
		SPACE=24;
	public static final int
		RULE_command = 0, RULE_show = 1, RULE_thing = 2, RULE_condition = 3, RULE_field = 4, 
		RULE_operator = 5, RULE_direction = 6, RULE_value = 7, RULE_set = 8, RULE_assign = 9, 
		RULE_drain = 10, RULE_cancel = 11;
	private static String[] makeRuleNames() {
		return new String[] {
			"command", "show", "thing", "condition", "field", "operator", "direction", 
			"value", "set", "assign", "drain", "cancel"
		};
	}
	public static final String[] ruleNames = makeRuleNames();

	private static String[] makeLiteralNames() {
		return new String[] {
			null, "'show'", "'where'", "'and'", "'order'", "'by'", "'limit'", "'asc'", 
			"'desc'", "'set'", "'class'", "'assign'", "'role'", "'drain'", "'undrain'", 
			"'cancel'", "'request'", "'='", "'!='", "'<'", "'>'"
		};
	}
	private static final String[] _LITERAL_NAMES = makeLiteralNames();
	private static String[] makeSymbolicNames() {
		return new String[] {
			null, "SHOW", "WHERE", "AND", "ORDER", "BY", "LIMIT", "ASC", "DESC", 
			"SET", "CLASS", "ASSIGN", "ROLE", "DRAIN", "UNDRAIN", "CANCEL", "REQUEST", 
			"EQUAL", "UNEQUAL", "LESS", "GREATER", "NUMBER", "WORD", "TEXT", "SPACE"
		};
	}
	private static final String[] _SYMBOLIC_NAMES = makeSymbolicNames();
	public static final Vocabulary VOCABULARY = new VocabularyImpl(_LITERAL_NAMES, _SYMBOLIC_NAMES);

	/**
	 * @deprecated Use {@link #VOCABULARY} instead.
	 */
	@Deprecated
	public static final String[] tokenNames;
	static {
		tokenNames = new String[_SYMBOLIC_NAMES.length];
		for (int i = 0; i < tokenNames.length; i++) {
			tokenNames[i] = VOCABULARY.getLiteralName(i);
			if (tokenNames[i] == null) {
				tokenNames[i] = VOCABULARY.getSymbolicName(i);
			}

			if (tokenNames[i] == null) {
				tokenNames[i] = "<INVALID>";
			}
		}
	}

	@Override
	@Deprecated
	public String[] getTokenNames() {
		return tokenNames;
	}

	@Override

	public Vocabulary getVocabulary() {
		return VOCABULARY;
	}

	@Override
	public String getGrammarFileName() { return "Command.g4"; }

	@Override
	public String[] getRuleNames() { return ruleNames; }

	@Override
	public String getSerializedATN() { return _serializedATN; }

	@Override
	public ATN getATN() { return _ATN; }

	public CommandParser(TokenStream input) {
		super(input);
		_interp = new ParserATNSimulator(this,_ATN,_decisionToDFA,_sharedContextCache);
	}

	@SuppressWarnings("CheckReturnValue")
	public static class CommandContext extends ParserRuleContext {
		public ShowContext show() {
			return getRuleContext(ShowContext.class,0);
		}
		public TerminalNode EOF() { return getToken(CommandParser.EOF, 0); }
		public SetContext set() {
			return getRuleContext(SetContext.class,0);
		}
		public AssignContext assign() {
			return getRuleContext(AssignContext.class,0);
		}
		public DrainContext drain() {
			return getRuleContext(DrainContext.class,0);
		}
		public CancelContext cancel() {
			return getRuleContext(CancelContext.class,0);
		}
		public CommandContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_command; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitCommand(this);
			else return visitor.visitChildren(this);
		}
	}

	public final CommandContext command() throws RecognitionException {
		CommandContext _localctx = new CommandContext(_ctx, getState());
		enterRule(_localctx, 0, RULE_command);
		try {
			setState(39);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case SHOW:
				enterOuterAlt(_localctx, 1);
				{
				setState(24);
				show();
				setState(25);
				match(EOF);
				}
				break;
			case SET:
				enterOuterAlt(_localctx, 2);
				{
				setState(27);
				set();
				setState(28);
				match(EOF);
				}
				break;
			case ASSIGN:
				enterOuterAlt(_localctx, 3);
				{
				setState(30);
				assign();
				setState(31);
				match(EOF);
				}
				break;
			case DRAIN:
			case UNDRAIN:
				enterOuterAlt(_localctx, 4);
				{
				setState(33);
				drain();
				setState(34);
				match(EOF);
				}
				break;
			case CANCEL:
				enterOuterAlt(_localctx, 5);
				{
				setState(36);
				cancel();
				setState(37);
				match(EOF);
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ShowContext extends ParserRuleContext {
		public TerminalNode SHOW() { return getToken(CommandParser.SHOW, 0); }
		public ThingContext thing() {
			return getRuleContext(ThingContext.class,0);
		}
		public TerminalNode WHERE() { return getToken(CommandParser.WHERE, 0); }
		public List<ConditionContext> condition() {
			return getRuleContexts(ConditionContext.class);
		}
		public ConditionContext condition(int i) {
			return getRuleContext(ConditionContext.class,i);
		}
		public TerminalNode ORDER() { return getToken(CommandParser.ORDER, 0); }
		public TerminalNode BY() { return getToken(CommandParser.BY, 0); }
		public FieldContext field() {
			return getRuleContext(FieldContext.class,0);
		}
		public TerminalNode LIMIT() { return getToken(CommandParser.LIMIT, 0); }
		public TerminalNode NUMBER() { return getToken(CommandParser.NUMBER, 0); }
		public List<TerminalNode> AND() { return getTokens(CommandParser.AND); }
		public TerminalNode AND(int i) {
			return getToken(CommandParser.AND, i);
		}
		public DirectionContext direction() {
			return getRuleContext(DirectionContext.class,0);
		}
		public ShowContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_show; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitShow(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ShowContext show() throws RecognitionException {
		ShowContext _localctx = new ShowContext(_ctx, getState());
		enterRule(_localctx, 2, RULE_show);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(41);
			match(SHOW);
			setState(42);
			thing();
			setState(52);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==WHERE) {
				{
				setState(43);
				match(WHERE);
				setState(44);
				condition();
				setState(49);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while (_la==AND) {
					{
					{
					setState(45);
					match(AND);
					setState(46);
					condition();
					}
					}
					setState(51);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
			}

			setState(60);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==ORDER) {
				{
				setState(54);
				match(ORDER);
				setState(55);
				match(BY);
				setState(56);
				field();
				setState(58);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==ASC || _la==DESC) {
					{
					setState(57);
					direction();
					}
				}

				}
			}

			setState(64);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==LIMIT) {
				{
				setState(62);
				match(LIMIT);
				setState(63);
				match(NUMBER);
				}
			}

			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ThingContext extends ParserRuleContext {
		public TerminalNode WORD() { return getToken(CommandParser.WORD, 0); }
		public ThingContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_thing; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitThing(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ThingContext thing() throws RecognitionException {
		ThingContext _localctx = new ThingContext(_ctx, getState());
		enterRule(_localctx, 4, RULE_thing);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(66);
			match(WORD);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ConditionContext extends ParserRuleContext {
		public FieldContext field() {
			return getRuleContext(FieldContext.class,0);
		}
		public OperatorContext operator() {
			return getRuleContext(OperatorContext.class,0);
		}
		public ValueContext value() {
			return getRuleContext(ValueContext.class,0);
		}
		public ConditionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_condition; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitCondition(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ConditionContext condition() throws RecognitionException {
		ConditionContext _localctx = new ConditionContext(_ctx, getState());
		enterRule(_localctx, 6, RULE_condition);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(68);
			field();
			setState(69);
			operator();
			setState(70);
			value();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class FieldContext extends ParserRuleContext {
		public TerminalNode WORD() { return getToken(CommandParser.WORD, 0); }
		public TerminalNode CLASS() { return getToken(CommandParser.CLASS, 0); }
		public TerminalNode ROLE() { return getToken(CommandParser.ROLE, 0); }
		public TerminalNode REQUEST() { return getToken(CommandParser.REQUEST, 0); }
		public TerminalNode LIMIT() { return getToken(CommandParser.LIMIT, 0); }
		public TerminalNode ORDER() { return getToken(CommandParser.ORDER, 0); }
		public FieldContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_field; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitField(this);
			else return visitor.visitChildren(this);
		}
	}

	public final FieldContext field() throws RecognitionException {
		FieldContext _localctx = new FieldContext(_ctx, getState());
		enterRule(_localctx, 8, RULE_field);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(72);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 4265040L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class OperatorContext extends ParserRuleContext {
		public TerminalNode EQUAL() { return getToken(CommandParser.EQUAL, 0); }
		public TerminalNode UNEQUAL() { return getToken(CommandParser.UNEQUAL, 0); }
		public TerminalNode LESS() { return getToken(CommandParser.LESS, 0); }
		public TerminalNode GREATER() { return getToken(CommandParser.GREATER, 0); }
		public OperatorContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_operator; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitOperator(this);
			else return visitor.visitChildren(this);
		}
	}

	public final OperatorContext operator() throws RecognitionException {
		OperatorContext _localctx = new OperatorContext(_ctx, getState());
		enterRule(_localctx, 10, RULE_operator);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(74);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 1966080L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class DirectionContext extends ParserRuleContext {
		public TerminalNode ASC() { return getToken(CommandParser.ASC, 0); }
		public TerminalNode DESC() { return getToken(CommandParser.DESC, 0); }
		public DirectionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_direction; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitDirection(this);
			else return visitor.visitChildren(this);
		}
	}

	public final DirectionContext direction() throws RecognitionException {
		DirectionContext _localctx = new DirectionContext(_ctx, getState());
		enterRule(_localctx, 12, RULE_direction);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(76);
			_la = _input.LA(1);
			if ( !(_la==ASC || _la==DESC) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ValueContext extends ParserRuleContext {
		public TerminalNode WORD() { return getToken(CommandParser.WORD, 0); }
		public TerminalNode NUMBER() { return getToken(CommandParser.NUMBER, 0); }
		public TerminalNode TEXT() { return getToken(CommandParser.TEXT, 0); }
		public ValueContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_value; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitValue(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ValueContext value() throws RecognitionException {
		ValueContext _localctx = new ValueContext(_ctx, getState());
		enterRule(_localctx, 14, RULE_value);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(78);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 14680064L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class SetContext extends ParserRuleContext {
		public Token name;
		public TerminalNode SET() { return getToken(CommandParser.SET, 0); }
		public TerminalNode CLASS() { return getToken(CommandParser.CLASS, 0); }
		public FieldContext field() {
			return getRuleContext(FieldContext.class,0);
		}
		public TerminalNode EQUAL() { return getToken(CommandParser.EQUAL, 0); }
		public ValueContext value() {
			return getRuleContext(ValueContext.class,0);
		}
		public TerminalNode WORD() { return getToken(CommandParser.WORD, 0); }
		public SetContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_set; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitSet(this);
			else return visitor.visitChildren(this);
		}
	}

	public final SetContext set() throws RecognitionException {
		SetContext _localctx = new SetContext(_ctx, getState());
		enterRule(_localctx, 16, RULE_set);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(80);
			match(SET);
			setState(81);
			match(CLASS);
			setState(82);
			((SetContext)_localctx).name = match(WORD);
			setState(83);
			field();
			setState(84);
			match(EQUAL);
			setState(85);
			value();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class AssignContext extends ParserRuleContext {
		public Token name;
		public Token role;
		public TerminalNode ASSIGN() { return getToken(CommandParser.ASSIGN, 0); }
		public TerminalNode ROLE() { return getToken(CommandParser.ROLE, 0); }
		public List<TerminalNode> WORD() { return getTokens(CommandParser.WORD); }
		public TerminalNode WORD(int i) {
			return getToken(CommandParser.WORD, i);
		}
		public AssignContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_assign; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitAssign(this);
			else return visitor.visitChildren(this);
		}
	}

	public final AssignContext assign() throws RecognitionException {
		AssignContext _localctx = new AssignContext(_ctx, getState());
		enterRule(_localctx, 18, RULE_assign);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(87);
			match(ASSIGN);
			setState(88);
			((AssignContext)_localctx).name = match(WORD);
			setState(89);
			match(ROLE);
			setState(90);
			((AssignContext)_localctx).role = match(WORD);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class DrainContext extends ParserRuleContext {
		public Token name;
		public TerminalNode DRAIN() { return getToken(CommandParser.DRAIN, 0); }
		public TerminalNode UNDRAIN() { return getToken(CommandParser.UNDRAIN, 0); }
		public TerminalNode WORD() { return getToken(CommandParser.WORD, 0); }
		public DrainContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_drain; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitDrain(this);
			else return visitor.visitChildren(this);
		}
	}

	public final DrainContext drain() throws RecognitionException {
		DrainContext _localctx = new DrainContext(_ctx, getState());
		enterRule(_localctx, 20, RULE_drain);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(92);
			_la = _input.LA(1);
			if ( !(_la==DRAIN || _la==UNDRAIN) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			setState(93);
			((DrainContext)_localctx).name = match(WORD);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class CancelContext extends ParserRuleContext {
		public Token name;
		public TerminalNode CANCEL() { return getToken(CommandParser.CANCEL, 0); }
		public TerminalNode REQUEST() { return getToken(CommandParser.REQUEST, 0); }
		public TerminalNode WORD() { return getToken(CommandParser.WORD, 0); }
		public TerminalNode NUMBER() { return getToken(CommandParser.NUMBER, 0); }
		public CancelContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_cancel; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof CommandVisitor ) return ((CommandVisitor<? extends T>)visitor).visitCancel(this);
			else return visitor.visitChildren(this);
		}
	}

	public final CancelContext cancel() throws RecognitionException {
		CancelContext _localctx = new CancelContext(_ctx, getState());
		enterRule(_localctx, 22, RULE_cancel);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(95);
			match(CANCEL);
			setState(96);
			match(REQUEST);
			setState(97);
			((CancelContext)_localctx).name = _input.LT(1);
			_la = _input.LA(1);
			if ( !(_la==NUMBER || _la==WORD) ) {
				((CancelContext)_localctx).name = (Token)_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	public static final String _serializedATN =
		"\u0004\u0001\u0018d\u0002\u0000\u0007\u0000\u0002\u0001\u0007\u0001\u0002"+
		"\u0002\u0007\u0002\u0002\u0003\u0007\u0003\u0002\u0004\u0007\u0004\u0002"+
		"\u0005\u0007\u0005\u0002\u0006\u0007\u0006\u0002\u0007\u0007\u0007\u0002"+
		"\b\u0007\b\u0002\t\u0007\t\u0002\n\u0007\n\u0002\u000b\u0007\u000b\u0001"+
		"\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001"+
		"\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001"+
		"\u0000\u0001\u0000\u0001\u0000\u0003\u0000(\b\u0000\u0001\u0001\u0001"+
		"\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0005\u00010\b"+
		"\u0001\n\u0001\f\u00013\t\u0001\u0003\u00015\b\u0001\u0001\u0001\u0001"+
		"\u0001\u0001\u0001\u0001\u0001\u0003\u0001;\b\u0001\u0003\u0001=\b\u0001"+
		"\u0001\u0001\u0001\u0001\u0003\u0001A\b\u0001\u0001\u0002\u0001\u0002"+
		"\u0001\u0003\u0001\u0003\u0001\u0003\u0001\u0003\u0001\u0004\u0001\u0004"+
		"\u0001\u0005\u0001\u0005\u0001\u0006\u0001\u0006\u0001\u0007\u0001\u0007"+
		"\u0001\b\u0001\b\u0001\b\u0001\b\u0001\b\u0001\b\u0001\b\u0001\t\u0001"+
		"\t\u0001\t\u0001\t\u0001\t\u0001\n\u0001\n\u0001\n\u0001\u000b\u0001\u000b"+
		"\u0001\u000b\u0001\u000b\u0001\u000b\u0000\u0000\f\u0000\u0002\u0004\u0006"+
		"\b\n\f\u000e\u0010\u0012\u0014\u0016\u0000\u0006\u0006\u0000\u0004\u0004"+
		"\u0006\u0006\n\n\f\f\u0010\u0010\u0016\u0016\u0001\u0000\u0011\u0014\u0001"+
		"\u0000\u0007\b\u0001\u0000\u0015\u0017\u0001\u0000\r\u000e\u0001\u0000"+
		"\u0015\u0016`\u0000\'\u0001\u0000\u0000\u0000\u0002)\u0001\u0000\u0000"+
		"\u0000\u0004B\u0001\u0000\u0000\u0000\u0006D\u0001\u0000\u0000\u0000\b"+
		"H\u0001\u0000\u0000\u0000\nJ\u0001\u0000\u0000\u0000\fL\u0001\u0000\u0000"+
		"\u0000\u000eN\u0001\u0000\u0000\u0000\u0010P\u0001\u0000\u0000\u0000\u0012"+
		"W\u0001\u0000\u0000\u0000\u0014\\\u0001\u0000\u0000\u0000\u0016_\u0001"+
		"\u0000\u0000\u0000\u0018\u0019\u0003\u0002\u0001\u0000\u0019\u001a\u0005"+
		"\u0000\u0000\u0001\u001a(\u0001\u0000\u0000\u0000\u001b\u001c\u0003\u0010"+
		"\b\u0000\u001c\u001d\u0005\u0000\u0000\u0001\u001d(\u0001\u0000\u0000"+
		"\u0000\u001e\u001f\u0003\u0012\t\u0000\u001f \u0005\u0000\u0000\u0001"+
		" (\u0001\u0000\u0000\u0000!\"\u0003\u0014\n\u0000\"#\u0005\u0000\u0000"+
		"\u0001#(\u0001\u0000\u0000\u0000$%\u0003\u0016\u000b\u0000%&\u0005\u0000"+
		"\u0000\u0001&(\u0001\u0000\u0000\u0000\'\u0018\u0001\u0000\u0000\u0000"+
		"\'\u001b\u0001\u0000\u0000\u0000\'\u001e\u0001\u0000\u0000\u0000\'!\u0001"+
		"\u0000\u0000\u0000\'$\u0001\u0000\u0000\u0000(\u0001\u0001\u0000\u0000"+
		"\u0000)*\u0005\u0001\u0000\u0000*4\u0003\u0004\u0002\u0000+,\u0005\u0002"+
		"\u0000\u0000,1\u0003\u0006\u0003\u0000-.\u0005\u0003\u0000\u0000.0\u0003"+
		"\u0006\u0003\u0000/-\u0001\u0000\u0000\u000003\u0001\u0000\u0000\u0000"+
		"1/\u0001\u0000\u0000\u000012\u0001\u0000\u0000\u000025\u0001\u0000\u0000"+
		"\u000031\u0001\u0000\u0000\u00004+\u0001\u0000\u0000\u000045\u0001\u0000"+
		"\u0000\u00005<\u0001\u0000\u0000\u000067\u0005\u0004\u0000\u000078\u0005"+
		"\u0005\u0000\u00008:\u0003\b\u0004\u00009;\u0003\f\u0006\u0000:9\u0001"+
		"\u0000\u0000\u0000:;\u0001\u0000\u0000\u0000;=\u0001\u0000\u0000\u0000"+
		"<6\u0001\u0000\u0000\u0000<=\u0001\u0000\u0000\u0000=@\u0001\u0000\u0000"+
		"\u0000>?\u0005\u0006\u0000\u0000?A\u0005\u0015\u0000\u0000@>\u0001\u0000"+
		"\u0000\u0000@A\u0001\u0000\u0000\u0000A\u0003\u0001\u0000\u0000\u0000"+
		"BC\u0005\u0016\u0000\u0000C\u0005\u0001\u0000\u0000\u0000DE\u0003\b\u0004"+
		"\u0000EF\u0003\n\u0005\u0000FG\u0003\u000e\u0007\u0000G\u0007\u0001\u0000"+
		"\u0000\u0000HI\u0007\u0000\u0000\u0000I\t\u0001\u0000\u0000\u0000JK\u0007"+
		"\u0001\u0000\u0000K\u000b\u0001\u0000\u0000\u0000LM\u0007\u0002\u0000"+
		"\u0000M\r\u0001\u0000\u0000\u0000NO\u0007\u0003\u0000\u0000O\u000f\u0001"+
		"\u0000\u0000\u0000PQ\u0005\t\u0000\u0000QR\u0005\n\u0000\u0000RS\u0005"+
		"\u0016\u0000\u0000ST\u0003\b\u0004\u0000TU\u0005\u0011\u0000\u0000UV\u0003"+
		"\u000e\u0007\u0000V\u0011\u0001\u0000\u0000\u0000WX\u0005\u000b\u0000"+
		"\u0000XY\u0005\u0016\u0000\u0000YZ\u0005\f\u0000\u0000Z[\u0005\u0016\u0000"+
		"\u0000[\u0013\u0001\u0000\u0000\u0000\\]\u0007\u0004\u0000\u0000]^\u0005"+
		"\u0016\u0000\u0000^\u0015\u0001\u0000\u0000\u0000_`\u0005\u000f\u0000"+
		"\u0000`a\u0005\u0010\u0000\u0000ab\u0007\u0005\u0000\u0000b\u0017\u0001"+
		"\u0000\u0000\u0000\u0006\'14:<@";
	public static final ATN _ATN =
		new ATNDeserializer().deserialize(_serializedATN.toCharArray());
	static {
		_decisionToDFA = new DFA[_ATN.getNumberOfDecisions()];
		for (int i = 0; i < _ATN.getNumberOfDecisions(); i++) {
			_decisionToDFA[i] = new DFA(_ATN.getDecisionState(i), i);
		}
	}
}