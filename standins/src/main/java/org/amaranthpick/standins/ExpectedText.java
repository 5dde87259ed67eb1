package org.amaranthpick.standins;

/** The right answer, as a function of model version, adapter, prompt and token index. */
public final class ExpectedText {
    private static final String[] WORDS = {
        "amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "haven", "inlet", "jetty",
        "knoll", "larch", "maple", "north", "ocean", "plain", "quarry", "ridge", "shore", "tidal",
        "upland", "valley", "willow", "yarrow",
    };
    private static final int HASH_FACTOR = 31;

    private ExpectedText() {}

    /**
     * Returns one token.
     *
     * @param model key of the model version
     * @param adapter key of the adapter, empty for none
     * @param prompt prompt text
     * @param index index of the token
     * @return text of the token, with a leading space
     */
    public static String token(String model, String adapter, String prompt, int index) {
        int hash = model.hashCode();
        hash = hash * HASH_FACTOR + adapter.hashCode();
        hash = hash * HASH_FACTOR + prompt.hashCode();
        hash = hash * HASH_FACTOR + index;
        hash ^= hash >>> 15;
        return " " + WORDS[Math.floorMod(hash, WORDS.length)] + index;
    }

    /**
     * Returns the whole answer.
     *
     * @param model key of the model version
     * @param adapter key of the adapter, empty for none
     * @param prompt prompt text
     * @param tokens number of tokens
     * @return text of all tokens
     */
    public static String answer(String model, String adapter, String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(token(model, adapter, prompt, i));
        }
        return text.toString();
    }
}
