#ifndef SUITES_H
#define SUITES_H

#include <check.h>

Suite *packet_suite(void);
Suite *token_suite(void);
Suite *flow_suite(void);
Suite *limiter_suite(void);
Suite *agent_suite(void);
Suite *transfer_suite(void);
Suite *faults_suite(void);

#endif
