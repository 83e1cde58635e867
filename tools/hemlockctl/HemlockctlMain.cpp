#include "Console.h"

#include <csignal>
#include <iostream>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return hemlockchute::runHemlockctl({ argv + 1, argv + argc }, { std::cin, std::cout, std::cerr });
}
