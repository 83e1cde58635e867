#include "hemlockchute/core/Kernel.h"

int main(int argc, char** argv)
{
    return hemlockchute::Kernel("keeper").run(argc, argv);
}
