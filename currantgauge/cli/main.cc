#include "currantgauge/cli/command.h"

int main(int Count, char **Arguments) {
  return currantgauge::cli::runCommandLine(Count, Arguments);
}
