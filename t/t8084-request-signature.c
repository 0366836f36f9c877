/*
 * The hash by which a request that is sent again is recognized.
 */
#include <glib.h>
#include <string.h>

#include "request-signature.h"

static uint64_t
hash (const char *target, const char *customer, const char *body)
{
  request_signature_t request
      = { .method = "POST",
          .host = "h",
          .target = target,
          .customer = customer,
          .body = (const uint8_t *)body,
          .body_bytes = body != NULL ? strlen (body) : 0 };

  return request_signature_hash (&request);
}

/* Guards against: a request that is not recognized when it comes again, and a
 * sound one of the same path that is taken for it. */
static void
test_same_request (void)
{
  g_assert_cmpuint (hash ("/a", "c", "x"), ==, hash ("/a", "c", "x"));
  g_assert_cmpuint (hash ("/a", "c", "x"), !=, hash ("/a", "d", "x"));
  g_assert_cmpuint (hash ("/a", "c", "x"), !=, hash ("/a", "c", "y"));
  g_assert_cmpuint (hash ("/a", "c", "x"), !=, hash ("/a?b", "c", "x"));
  g_assert_cmpuint (hash ("/a", NULL, NULL), !=, 0);
  g_assert_cmpuint (hash ("/a", NULL, NULL), ==, hash ("/a", "", ""));
}

/** Values that are equal when joined belong to different requests. */
static void
test_joined_values (void)
{
  g_assert_cmpuint (hash ("/a", "bc", "x"), !=, hash ("/ab", "c", "x"));
  g_assert_cmpuint (hash ("/a", "b", "cx"), !=, hash ("/a", "bc", "x"));
}

/* Guards against: a request that is not recognized at another entry instance,
 * as its Host field names the port to which it was sent. */
static void
test_host_as_in_routes (void)
{
  request_signature_t one
      = { .method = "GET", .host = "API.example:8001", .target = "/" };
  request_signature_t other
      = { .method = "GET", .host = "api.example", .target = "/" };
  request_signature_t six
      = { .method = "GET", .host = "[::1]:8001", .target = "/" };
  request_signature_t seven
      = { .method = "GET", .host = "[::2]:8001", .target = "/" };

  g_assert_cmpuint (request_signature_hash (&one), ==,
                    request_signature_hash (&other));
  g_assert_cmpuint (request_signature_hash (&six), !=,
                    request_signature_hash (&seven));
  six.host = "[::1]";
  seven.host = "[::1]:8002";
  g_assert_cmpuint (request_signature_hash (&six), ==,
                    request_signature_hash (&seven));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/request-signature/same", test_same_request);
  g_test_add_func ("/request-signature/joined", test_joined_values);
  g_test_add_func ("/request-signature/host", test_host_as_in_routes);
  return g_test_run ();
}
