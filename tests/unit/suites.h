#ifndef SUITES_H
#define SUITES_H

#include <check.h>

Suite *net_suite(void);
Suite *packet_suite(void);
Suite *token_suite(void);

#endif
