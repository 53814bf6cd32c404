#include "main/command_line.h"

int main(int argc, char** argv)
{
    return static_cast<int>(clementinegap::run_command({argv + 1, argv + argc}));
}
