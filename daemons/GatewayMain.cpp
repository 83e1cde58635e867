#include "hemlockchute/core/Kernel.h"

int main(int argc, char** argv)
{
    return hemlockchute::Kernel("gateway").run(argc, argv);
}
