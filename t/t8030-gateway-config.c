#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "gateway-config.h"

static route_target_t targets[] = { { "s", 90 }, { "t", 10 } };
static route_target_t weightless[] = { { "s", 0 }, { "t", 0 } };
static route_target_t unknown[] = { { "nobody", 1 } };

static gateway_route_t
make_route (const char *host, const char *prefix)
{
  return (gateway_route_t){ .name = prefix,
                            .host = host,
                            .path_prefix = prefix,
                            .kind = ROUTE_SAFE,
                            .timeout_ms = 1000,
                            .targets = targets,
                            .target_count = 2 };
}

/** Returns a configuration with two services and the given routes. */
static gateway_config_t *
make_config (const gateway_route_t *routes, size_t count)
{
  gateway_config_t *config = gateway_config_new (NULL);

  config->routes = talloc_memdup (config, routes, count * sizeof *routes);
  config->route_count = count;
  config->services = talloc_zero_array (config, gateway_service_t, 2);
  config->service_count = 2;
  config->services[0].name = "s";
  config->services[1].name = "t";
  return config;
}

static void
test_longest_prefix (void)
{
  gateway_route_t routes[]
      = { make_route ("a.example", "/"), make_route ("a.example", "/x/"),
          make_route ("a.example", "/x/y/"), make_route ("b.example", "/x/") };
  gateway_config_t *config = make_config (routes, G_N_ELEMENTS (routes));
  static const struct
  {
    const char *host;
    const char *target;
    const char *prefix; /* expected prefix; NULL for no match */
  } cases[] = { { "a.example", "/x/y/z", "/x/y/" },
                { "A.Example:8080", "/x/y", "/x/" },
                { "a.example", "/x/z?q=/x/y/", "/x/" },
                { "a.example", "/xy/", "/" },
                { "b.example", "/x/", "/x/" },
                { "b.example", "/y/", NULL },
                { "c.example", "/x/", NULL } };

  g_assert_null (gateway_config_finalize (config));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const gateway_route_t *found
          = gateway_config_route (config, cases[i].host, cases[i].target);

      g_assert_cmpstr (found != NULL ? found->path_prefix : NULL, ==,
                       cases[i].prefix);
    }
  talloc_free (config);
}

static void
expect_refused (const gateway_route_t *routes, size_t count, const char *part)
{
  gateway_config_t *config = make_config (routes, count);
  const char *why = gateway_config_finalize (config);

  g_assert_nonnull (why);
  g_assert_nonnull (strstr (why, part));
  talloc_free (config);
}

static void
test_invalid_config_is_refused (void)
{
  gateway_route_t twice[]
      = { make_route ("a", "/x/"), make_route ("A", "/x/") };
  gateway_route_t bad = make_route ("a", "/x/");

  expect_refused (twice, 2, "second route");
  bad.timeout_ms = 0;
  expect_refused (&bad, 1, "timeout");
  bad = make_route ("a", "/x/");
  bad.targets = weightless;
  expect_refused (&bad, 1, "no weight");
  bad.targets = unknown;
  bad.target_count = 1;
  expect_refused (&bad, 1, "no such service");
  bad = make_route ("a", "/x");
  expect_refused (&bad, 1, "slashes");
}

static void
test_customer_of_key (void)
{
  static const char *one_keys[] = { "k1", "k2" };
  static const char *other_keys[] = { "k3", "k1" };
  gateway_route_t only = make_route ("a", "/x/");
  gateway_config_t *config = make_config (&only, 1);

  config->customers = talloc_zero_array (config, gateway_customer_t, 2);
  config->customer_count = 1;
  config->customers[0]
      = (gateway_customer_t){ .name = "one", .keys = one_keys, .key_count = 2 };
  g_assert_null (gateway_config_finalize (config));
  g_assert_cmpstr (gateway_config_customer (config, "k2")->name, ==, "one");
  g_assert_null (gateway_config_customer (config, "k"));
  talloc_free (config);

  config = make_config (&only, 1);
  config->customers = talloc_zero_array (config, gateway_customer_t, 2);
  config->customer_count = 2;
  config->customers[0]
      = (gateway_customer_t){ .name = "one", .keys = one_keys, .key_count = 2 };
  config->customers[1] = (gateway_customer_t){ .name = "other",
                                               .keys = other_keys,
                                               .key_count = 2 };
  g_assert_nonnull (gateway_config_finalize (config));
  talloc_free (config);
}

static void
test_weighted_pick (void)
{
  gateway_route_t only = make_route ("a", "/x/");
  gateway_config_t *config = make_config (&only, 1);
  uint32_t first = 0;

  g_assert_null (gateway_config_finalize (config));
  for (uint32_t random = 0; random < 1000; random++)
    first += g_str_equal (
        gateway_config_pick_service (config, &config->routes[0], random)->name,
        "s");
  g_assert_cmpuint (first, ==, 900);
  talloc_free (config);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gateway-config/longest-prefix", test_longest_prefix);
  g_test_add_func ("/gateway-config/invalid", test_invalid_config_is_refused);
  g_test_add_func ("/gateway-config/customers", test_customer_of_key);
  g_test_add_func ("/gateway-config/draw", test_weighted_pick);
  return g_test_run ();
}
