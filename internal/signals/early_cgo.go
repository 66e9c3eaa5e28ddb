package signals

// A signal that arrives before the Go runtime has started would end the process. The
// constructor runs when the program is loaded; the runtime leaves an ignored signal alone
// until it is asked for.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_until_caught(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
