package org.amaranthpick.tools;

import com.github.rvesse.airline.annotations.Option;
import java.net.URI;
import java.security.SecureRandom;
import java.util.Optional;
import org.amaranthpick.core.config.ConfigurationStore;
import org.amaranthpick.core.store.ObjectStore;
import org.amaranthpick.core.store.WriterTokens;
import org.amaranthpick.server.store.HttpObjectStore;
import org.amaranthpick.server.store.StoreSettings;
import org.amaranthpick.tools.client.CommandClient;

/** Options of commands that work on the platform's store. */
public final class StoreOptions {
    private static final String VARIABLE = "AMARANTHPICK_STORE_ADDRESS";

    @Option(name = "--store-address", description = "Base address of the platform's object API.")
    private String mAddress = System.getenv(VARIABLE);

    @Option(name = "--store-token", description = "Credential for the object API.")
    private String mToken = System.getenv("AMARANTHPICK_STORE_TOKEN");

    @Option(
            name = "--operator",
            description = "Name of the operator, told to others who change the configuration.")
    private String mOperator = "operator";

    ObjectStore open(CommandClient client) {
        if (mAddress == null || mAddress.isBlank()) {
            throw new CommandException(
                    ExitCode.USAGE,
                    "the store is not named; give --store-address or set " + VARIABLE);
        }
        StoreSettings settings = StoreSettings.defaults().withToken(Optional.ofNullable(mToken));
        return new HttpObjectStore(
                URI.create(mAddress), client.worker(), client.scheduler(), settings);
    }

    ConfigurationStore configuration(CommandClient client, ObjectStore store) {
        WriterTokens tokens = new WriterTokens(mOperator, new SecureRandom().nextLong());
        return new ConfigurationStore(store, client.scheduler(), tokens);
    }
}
