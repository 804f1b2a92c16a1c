/**
 * @file load.h
 * @brief `papayaswitch load`: callers at a steady rate, and their account.
 */
#ifndef PPS_CLI_LOAD_H
#define PPS_CLI_LOAD_H

/**
 * Runs the command; argv[0] is its name.
 * @return the exit status: 0; 1 when a promise was broken; 2 on misuse
 */
int
pps_cli_load(int argc, char **argv);

#endif
