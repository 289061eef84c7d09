// The operators' language. The Java files made from it are committed; docs/COMMANDS.md says how to
// make them again.
grammar Command;

command
    : show EOF
    | set EOF
    | assign EOF
    | drain EOF
    | cancel EOF
    ;

show : SHOW thing (WHERE condition (AND condition)*)? (ORDER BY field direction?)? (LIMIT NUMBER)? ;
thing : WORD ;
condition : field operator value ;
field : WORD | CLASS | ROLE | REQUEST | LIMIT | ORDER ;
operator : EQUAL | UNEQUAL | LESS | GREATER ;
direction : ASC | DESC ;
value : WORD | NUMBER | TEXT ;

set : SET CLASS name=WORD field EQUAL value ;
assign : ASSIGN name=WORD ROLE role=WORD ;
drain : (DRAIN | UNDRAIN) name=WORD ;
cancel : CANCEL REQUEST name=(WORD | NUMBER) ;

SHOW : 'show' ;
WHERE : 'where' ;
AND : 'and' ;
ORDER : 'order' ;
BY : 'by' ;
LIMIT : 'limit' ;
ASC : 'asc' ;
DESC : 'desc' ;
SET : 'set' ;
CLASS : 'class' ;
ASSIGN : 'assign' ;
ROLE : 'role' ;
DRAIN : 'drain' ;
UNDRAIN : 'undrain' ;
CANCEL : 'cancel' ;
REQUEST : 'request' ;
EQUAL : '=' ;
UNEQUAL : '!=' ;
LESS : '<' ;
GREATER : '>' ;
NUMBER : [0-9]+ ;
WORD : [A-Za-z0-9] [A-Za-z0-9._:~-]* ;
TEXT : '"' ~["\r\n]* '"' ;
SPACE : [ \t\r\n]+ -> skip ;
