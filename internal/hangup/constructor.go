package hangup

// A Go program needs some milliseconds, on a slow machine tens of them, until its first init function runs. A
// constructor runs as soon as the program is loaded; the C library passes it the program's arguments.

/*
#include <signal.h>
#include <string.h>

static void __attribute__((constructor)) ignore_hangup(int argc, char **argv) {
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], "--hosted") == 0) {
			signal(SIGHUP, SIG_IGN);
		}
	}
}
*/
import "C"
