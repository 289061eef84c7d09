// Generated from Command.g4 by ANTLR 4.13.2
package org.troutpier.daemon.operator.grammar;
import org.antlr.v4.runtime.Lexer;
import org.antlr.v4.runtime.CharStream;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.TokenStream;
import org.antlr.v4.runtime.*;
import org.antlr.v4.runtime.atn.*;
import org.antlr.v4.runtime.dfa.DFA;
import org.antlr.v4.runtime.misc.*;

@SuppressWarnings({"all", "warnings", "unchecked", "unused", "cast", "CheckReturnValue", "this-escape"})
public class CommandLexer extends Lexer {
	static { RuntimeMetaData.checkVersion("4.13.2", RuntimeMetaData.VERSION); }

	protected static final DFA[] _decisionToDFA;
	protected static final PredictionContextCache _sharedContextCache =
		new PredictionContextCache();
	public static final int
		SHOW=1, WHERE=2, AND=3, ORDER=4, BY=5, LIMIT=6, ASC=7, DESC=8, SET=9, 
		CLASS=10, ASSIGN=11, ROLE=12, DRAIN=13, UNDRAIN=14, CANCEL=15, REQUEST=16, 
		EQUAL=17, UNEQUAL=18, LESS=19, GREATER=20, NUMBER=21, WORD=22, TEXT=23, 
		SPACE=24;
	public static String[] channelNames = {
		"DEFAULT_TOKEN_CHANNEL", "HIDDEN"
	};

	public static String[] modeNames = {
		"DEFAULT_MODE"
	};

	private static String[] makeRuleNames() {
		return new String[] {
			"SHOW", "WHERE", "AND", "ORDER", "BY", "LIMIT", "ASC", "DESC", "SET", 
			"CLASS", "ASSIGN", "ROLE", "DRAIN", "UNDRAIN", "CANCEL", "REQUEST", "EQUAL", 
			"UNEQUAL", "LESS", "GREATER", "NUMBER", "WORD", "TEXT", "SPACE"
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


	public CommandLexer(CharStream input) {
		super(input);
		_interp = new LexerATNSimulator(this,_ATN,_decisionToDFA,_sharedContextCache);
	}

	@Override
	public String getGrammarFileName() { return "Command.g4"; }

	@Override
	public String[] getRuleNames() { return ruleNames; }

	@Override
	public String getSerializedATN() { return _serializedATN; }

	@Override
	public String[] getChannelNames() { return channelNames; }

	@Override
	public String[] getModeNames() { return modeNames; }

	@Override
	public ATN getATN() { return _ATN; }

	public static final String _serializedATN =
		"\u0004\u0000\u0018\u00b0\u0006\uffff\uffff\u0002\u0000\u0007\u0000\u0002"+
		"\u0001\u0007\u0001\u0002\u0002\u0007\u0002\u0002\u0003\u0007\u0003\u0002"+
		"\u0004\u0007\u0004\u0002\u0005\u0007\u0005\u0002\u0006\u0007\u0006\u0002"+
		"\u0007\u0007\u0007\u0002\b\u0007\b\u0002\t\u0007\t\u0002\n\u0007\n\u0002"+
		"\u000b\u0007\u000b\u0002\f\u0007\f\u0002\r\u0007\r\u0002\u000e\u0007\u000e"+
		"\u0002\u000f\u0007\u000f\u0002\u0010\u0007\u0010\u0002\u0011\u0007\u0011"+
		"\u0002\u0012\u0007\u0012\u0002\u0013\u0007\u0013\u0002\u0014\u0007\u0014"+
		"\u0002\u0015\u0007\u0015\u0002\u0016\u0007\u0016\u0002\u0017\u0007\u0017"+
		"\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0001"+
		"\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0002"+
		"\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0003\u0001\u0003\u0001\u0003"+
		"\u0001\u0003\u0001\u0003\u0001\u0003\u0001\u0004\u0001\u0004\u0001\u0004"+
		"\u0001\u0005\u0001\u0005\u0001\u0005\u0001\u0005\u0001\u0005\u0001\u0005"+
		"\u0001\u0006\u0001\u0006\u0001\u0006\u0001\u0006\u0001\u0007\u0001\u0007"+
		"\u0001\u0007\u0001\u0007\u0001\u0007\u0001\b\u0001\b\u0001\b\u0001\b\u0001"+
		"\t\u0001\t\u0001\t\u0001\t\u0001\t\u0001\t\u0001\n\u0001\n\u0001\n\u0001"+
		"\n\u0001\n\u0001\n\u0001\n\u0001\u000b\u0001\u000b\u0001\u000b\u0001\u000b"+
		"\u0001\u000b\u0001\f\u0001\f\u0001\f\u0001\f\u0001\f\u0001\f\u0001\r\u0001"+
		"\r\u0001\r\u0001\r\u0001\r\u0001\r\u0001\r\u0001\r\u0001\u000e\u0001\u000e"+
		"\u0001\u000e\u0001\u000e\u0001\u000e\u0001\u000e\u0001\u000e\u0001\u000f"+
		"\u0001\u000f\u0001\u000f\u0001\u000f\u0001\u000f\u0001\u000f\u0001\u000f"+
		"\u0001\u000f\u0001\u0010\u0001\u0010\u0001\u0011\u0001\u0011\u0001\u0011"+
		"\u0001\u0012\u0001\u0012\u0001\u0013\u0001\u0013\u0001\u0014\u0004\u0014"+
		"\u0096\b\u0014\u000b\u0014\f\u0014\u0097\u0001\u0015\u0001\u0015\u0005"+
		"\u0015\u009c\b\u0015\n\u0015\f\u0015\u009f\t\u0015\u0001\u0016\u0001\u0016"+
		"\u0005\u0016\u00a3\b\u0016\n\u0016\f\u0016\u00a6\t\u0016\u0001\u0016\u0001"+
		"\u0016\u0001\u0017\u0004\u0017\u00ab\b\u0017\u000b\u0017\f\u0017\u00ac"+
		"\u0001\u0017\u0001\u0017\u0000\u0000\u0018\u0001\u0001\u0003\u0002\u0005"+
		"\u0003\u0007\u0004\t\u0005\u000b\u0006\r\u0007\u000f\b\u0011\t\u0013\n"+
		"\u0015\u000b\u0017\f\u0019\r\u001b\u000e\u001d\u000f\u001f\u0010!\u0011"+
		"#\u0012%\u0013\'\u0014)\u0015+\u0016-\u0017/\u0018\u0001\u0000\u0005\u0001"+
		"\u000009\u0003\u000009AZaz\u0006\u0000-.0:AZ__az~~\u0003\u0000\n\n\r\r"+
		"\"\"\u0003\u0000\t\n\r\r  \u00b3\u0000\u0001\u0001\u0000\u0000\u0000\u0000"+
		"\u0003\u0001\u0000\u0000\u0000\u0000\u0005\u0001\u0000\u0000\u0000\u0000"+
		"\u0007\u0001\u0000\u0000\u0000\u0000\t\u0001\u0000\u0000\u0000\u0000\u000b"+
		"\u0001\u0000\u0000\u0000\u0000\r\u0001\u0000\u0000\u0000\u0000\u000f\u0001"+
		"\u0000\u0000\u0000\u0000\u0011\u0001\u0000\u0000\u0000\u0000\u0013\u0001"+
		"\u0000\u0000\u0000\u0000\u0015\u0001\u0000\u0000\u0000\u0000\u0017\u0001"+
		"\u0000\u0000\u0000\u0000\u0019\u0001\u0000\u0000\u0000\u0000\u001b\u0001"+
		"\u0000\u0000\u0000\u0000\u001d\u0001\u0000\u0000\u0000\u0000\u001f\u0001"+
		"\u0000\u0000\u0000\u0000!\u0001\u0000\u0000\u0000\u0000#\u0001\u0000\u0000"+
		"\u0000\u0000%\u0001\u0000\u0000\u0000\u0000\'\u0001\u0000\u0000\u0000"+
		"\u0000)\u0001\u0000\u0000\u0000\u0000+\u0001\u0000\u0000\u0000\u0000-"+
		"\u0001\u0000\u0000\u0000\u0000/\u0001\u0000\u0000\u0000\u00011\u0001\u0000"+
		"\u0000\u0000\u00036\u0001\u0000\u0000\u0000\u0005<\u0001\u0000\u0000\u0000"+
		"\u0007@\u0001\u0000\u0000\u0000\tF\u0001\u0000\u0000\u0000\u000bI\u0001"+
		"\u0000\u0000\u0000\rO\u0001\u0000\u0000\u0000\u000fS\u0001\u0000\u0000"+
		"\u0000\u0011X\u0001\u0000\u0000\u0000\u0013\\\u0001\u0000\u0000\u0000"+
		"\u0015b\u0001\u0000\u0000\u0000\u0017i\u0001\u0000\u0000\u0000\u0019n"+
		"\u0001\u0000\u0000\u0000\u001bt\u0001\u0000\u0000\u0000\u001d|\u0001\u0000"+
		"\u0000\u0000\u001f\u0083\u0001\u0000\u0000\u0000!\u008b\u0001\u0000\u0000"+
		"\u0000#\u008d\u0001\u0000\u0000\u0000%\u0090\u0001\u0000\u0000\u0000\'"+
		"\u0092\u0001\u0000\u0000\u0000)\u0095\u0001\u0000\u0000\u0000+\u0099\u0001"+
		"\u0000\u0000\u0000-\u00a0\u0001\u0000\u0000\u0000/\u00aa\u0001\u0000\u0000"+
		"\u000012\u0005s\u0000\u000023\u0005h\u0000\u000034\u0005o\u0000\u0000"+
		"45\u0005w\u0000\u00005\u0002\u0001\u0000\u0000\u000067\u0005w\u0000\u0000"+
		"78\u0005h\u0000\u000089\u0005e\u0000\u00009:\u0005r\u0000\u0000:;\u0005"+
		"e\u0000\u0000;\u0004\u0001\u0000\u0000\u0000<=\u0005a\u0000\u0000=>\u0005"+
		"n\u0000\u0000>?\u0005d\u0000\u0000?\u0006\u0001\u0000\u0000\u0000@A\u0005"+
		"o\u0000\u0000AB\u0005r\u0000\u0000BC\u0005d\u0000\u0000CD\u0005e\u0000"+
		"\u0000DE\u0005r\u0000\u0000E\b\u0001\u0000\u0000\u0000FG\u0005b\u0000"+
		"\u0000GH\u0005y\u0000\u0000H\n\u0001\u0000\u0000\u0000IJ\u0005l\u0000"+
		"\u0000JK\u0005i\u0000\u0000KL\u0005m\u0000\u0000LM\u0005i\u0000\u0000"+
		"MN\u0005t\u0000\u0000N\f\u0001\u0000\u0000\u0000OP\u0005a\u0000\u0000"+
		"PQ\u0005s\u0000\u0000QR\u0005c\u0000\u0000R\u000e\u0001\u0000\u0000\u0000"+
		"ST\u0005d\u0000\u0000TU\u0005e\u0000\u0000UV\u0005s\u0000\u0000VW\u0005"+
		"c\u0000\u0000W\u0010\u0001\u0000\u0000\u0000XY\u0005s\u0000\u0000YZ\u0005"+
		"e\u0000\u0000Z[\u0005t\u0000\u0000[\u0012\u0001\u0000\u0000\u0000\\]\u0005"+
		"c\u0000\u0000]^\u0005l\u0000\u0000^_\u0005a\u0000\u0000_`\u0005s\u0000"+
		"\u0000`a\u0005s\u0000\u0000a\u0014\u0001\u0000\u0000\u0000bc\u0005a\u0000"+
		"\u0000cd\u0005s\u0000\u0000de\u0005s\u0000\u0000ef\u0005i\u0000\u0000"+
		"fg\u0005g\u0000\u0000gh\u0005n\u0000\u0000h\u0016\u0001\u0000\u0000\u0000"+
		"ij\u0005r\u0000\u0000jk\u0005o\u0000\u0000kl\u0005l\u0000\u0000lm\u0005"+
		"e\u0000\u0000m\u0018\u0001\u0000\u0000\u0000no\u0005d\u0000\u0000op\u0005"+
		"r\u0000\u0000pq\u0005a\u0000\u0000qr\u0005i\u0000\u0000rs\u0005n\u0000"+
		"\u0000s\u001a\u0001\u0000\u0000\u0000tu\u0005u\u0000\u0000uv\u0005n\u0000"+
		"\u0000vw\u0005d\u0000\u0000wx\u0005r\u0000\u0000xy\u0005a\u0000\u0000"+
		"yz\u0005i\u0000\u0000z{\u0005n\u0000\u0000{\u001c\u0001\u0000\u0000\u0000"+
		"|}\u0005c\u0000\u0000}~\u0005a\u0000\u0000~\u007f\u0005n\u0000\u0000\u007f"+
		"\u0080\u0005c\u0000\u0000\u0080\u0081\u0005e\u0000\u0000\u0081\u0082\u0005"+
		"l\u0000\u0000\u0082\u001e\u0001\u0000\u0000\u0000\u0083\u0084\u0005r\u0000"+
		"\u0000\u0084\u0085\u0005e\u0000\u0000\u0085\u0086\u0005q\u0000\u0000\u0086"+
		"\u0087\u0005u\u0000\u0000\u0087\u0088\u0005e\u0000\u0000\u0088\u0089\u0005"+
		"s\u0000\u0000\u0089\u008a\u0005t\u0000\u0000\u008a \u0001\u0000\u0000"+
		"\u0000\u008b\u008c\u0005=\u0000\u0000\u008c\"\u0001\u0000\u0000\u0000"+
		"\u008d\u008e\u0005!\u0000\u0000\u008e\u008f\u0005=\u0000\u0000\u008f$"+
		"\u0001\u0000\u0000\u0000\u0090\u0091\u0005<\u0000\u0000\u0091&\u0001\u0000"+
		"\u0000\u0000\u0092\u0093\u0005>\u0000\u0000\u0093(\u0001\u0000\u0000\u0000"+
		"\u0094\u0096\u0007\u0000\u0000\u0000\u0095\u0094\u0001\u0000\u0000\u0000"+
		"\u0096\u0097\u0001\u0000\u0000\u0000\u0097\u0095\u0001\u0000\u0000\u0000"+
		"\u0097\u0098\u0001\u0000\u0000\u0000\u0098*\u0001\u0000\u0000\u0000\u0099"+
		"\u009d\u0007\u0001\u0000\u0000\u009a\u009c\u0007\u0002\u0000\u0000\u009b"+
		"\u009a\u0001\u0000\u0000\u0000\u009c\u009f\u0001\u0000\u0000\u0000\u009d"+
		"\u009b\u0001\u0000\u0000\u0000\u009d\u009e\u0001\u0000\u0000\u0000\u009e"+
		",\u0001\u0000\u0000\u0000\u009f\u009d\u0001\u0000\u0000\u0000\u00a0\u00a4"+
		"\u0005\"\u0000\u0000\u00a1\u00a3\b\u0003\u0000\u0000\u00a2\u00a1\u0001"+
		"\u0000\u0000\u0000\u00a3\u00a6\u0001\u0000\u0000\u0000\u00a4\u00a2\u0001"+
		"\u0000\u0000\u0000\u00a4\u00a5\u0001\u0000\u0000\u0000\u00a5\u00a7\u0001"+
		"\u0000\u0000\u0000\u00a6\u00a4\u0001\u0000\u0000\u0000\u00a7\u00a8\u0005"+
		"\"\u0000\u0000\u00a8.\u0001\u0000\u0000\u0000\u00a9\u00ab\u0007\u0004"+
		"\u0000\u0000\u00aa\u00a9\u0001\u0000\u0000\u0000\u00ab\u00ac\u0001\u0000"+
		"\u0000\u0000\u00ac\u00aa\u0001\u0000\u0000\u0000\u00ac\u00ad\u0001\u0000"+
		"\u0000\u0000\u00ad\u00ae\u0001\u0000\u0000\u0000\u00ae\u00af\u0006\u0017"+
		"\u0000\u0000\u00af0\u0001\u0000\u0000\u0000\u0005\u0000\u0097\u009d\u00a4"+
		"\u00ac\u0001\u0006\u0000\u0000";
	public static final ATN _ATN =
		new ATNDeserializer().deserialize(_serializedATN.toCharArray());
	static {
		_decisionToDFA = new DFA[_ATN.getNumberOfDecisions()];
		for (int i = 0; i < _ATN.getNumberOfDecisions(); i++) {
			_decisionToDFA[i] = new DFA(_ATN.getDecisionState(i), i);
		}
	}
}